#ifndef BUCKTHORNWING_WIRE_MEMBER_H
#define BUCKTHORNWING_WIRE_MEMBER_H

#include "../Core/IpAddress.h"

namespace buckthornwing::internal {

/// \brief Writes the fields that all generated structs of members have: id,
/// zone and address.
template<typename Member, typename Wire>
void
writeMember(const Member& member, Wire& out)
{
  out.id = member.id;
  out.zone = member.zone;
  out.address = formatEndpoint(member.address);
}

/// \brief Reads the fields that writeMember() writes.
/// \returns whether the address is a valid endpoint
template<typename Member, typename Wire>
bool
readMember(const Wire& in, Member& out)
{
  const auto address = parseEndpoint(in.address);
  if (!address) {
    return false;
  }
  out.id = in.id;
  out.zone = in.zone;
  out.address = *address;
  return true;
}

}

#endif
