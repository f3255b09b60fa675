// The entry point of every test program; the build defines the name of the module.
#define BOOST_TEST_MODULE BANYANKEEL_TEST_NAME
#include <boost/test/unit_test.hpp>
