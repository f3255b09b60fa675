#pragma once

// The exceptions of the project. They report invalid settings, incorrect use and malformed input;
// the outcome of a request is a Verdict, never an exception.

#include <stdexcept>
#include <string>

namespace banyankeel
{

/// Base class of all exceptions of the project.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Thrown for a name that is not a valid identifier.
class IdentifierError : public Error
{
public:
    using Error::Error;
};

/// Thrown for a value outside its allowed range.
class ValueError : public Error
{
public:
    using Error::Error;
};

/// Thrown for an invalid settings or configuration file; the message names the file, line and field.
class SettingsError : public Error
{
public:
    using Error::Error;
};

/// Thrown for a message from another process that violates the protocol.
class ProtocolError : public Error
{
public:
    using Error::Error;
};

} // namespace banyankeel
