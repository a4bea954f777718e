#ifndef BUCKTHORNWING_BWCTL_INSTANCE_QUERY_H
#define BUCKTHORNWING_BWCTL_INSTANCE_QUERY_H

#include <Core>

#include <boost/json/object.hpp>
#include <boost/leaf/result.hpp>
#include <initializer_list>
#include <string>

namespace buckthornwing::bwctl {

/// \returns the address that an argument names, or an error.
boost::leaf::result<Endpoint>
readAddress(const std::string& argument);

/// \returns the body of a running instance's response, or an error if the
/// request failed or the HTTP status isn't 200.
/// \param address the instance's operators' address
/// \param path path and query of the request
boost::leaf::result<std::string>
queryInstance(const Endpoint& address, const std::string& path);

/// \brief Prints those of the named fields that exist, one a line.
void
printFields(const boost::json::object& document,
            std::initializer_list<const char*> names);

/// \brief Prints an array of objects, one object per line.
void
printRows(const boost::json::object& document, const char* name);

}

#endif
