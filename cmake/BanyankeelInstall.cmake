# What `make install` puts where. Stand-ins and tests are not installed.

include(GNUInstallDirs)

install(TARGETS banyankeel-node banyankeelctl RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(DIRECTORY examples/ DESTINATION ${CMAKE_INSTALL_DATADIR}/banyankeel/examples)
install(FILES docs/OPERATIONS.md README.md CHANGELOG.md DESTINATION ${CMAKE_INSTALL_DOCDIR})
