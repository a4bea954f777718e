/// \file
/// \brief Fuzzes the reading of entries that another writer left in the store:
/// the listing, the watch, the registry, the view codec and the placement of
/// flows.
///
/// The target that the store also has must stay in use.

#include <Fleet>
#include <platform/StoreInput.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <sodium.h>

namespace {

using namespace buckthornwing;
using namespace buckthornwing::platform;

constexpr MilliTime kNow{ 100000 };
constexpr std::string_view kTarget =
  R"({"service":"a","address":"10.0.0.1:80","zone":"z","version":"1","slots":3,)"
  R"("state":"ready","warmup_left_ms":0,"seq":1,"born":7})";
constexpr std::string_view kRoutes =
  R"({"version":1,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/",)"
  R"("route_type":"idempotent","service":"a"}],"services":[{"name":"a"}]})";

std::string
encodeBase64(std::string_view bytes)
{
  constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
  std::string text(sodium_base64_encoded_len(bytes.size(), kVariant), '\0');
  sodium_bin2base64(text.data(),
                    text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(),
                    kVariant);
  text.resize(text.size() - 1);
  return text;
}

boost::json::object
makeItem(std::string_view key, std::string_view value, std::uint64_t revision)
{
  return { { "key", key },
           { "value", encodeBase64(value) },
           { "revision", revision },
           { "created_rev", revision } };
}

TagEngine
makeEngine(const char* id)
{
  TagSettings settings;
  settings.id = id;
  settings.zone = "z";
  settings.tagSecret = 7;
  return TagEngine(settings);
}

/// \brief Lets an engine read pages that consist of some items.
void
read(TagEngine& engine,
     const std::string& prefix,
     const boost::json::array& items,
     const char* listName)
{
  const StoreInput input{ engine, [] { return kNow; }, [] {} };
  StoreCursor cursor(prefix,
                     MilliDuration{ 1000 },
                     prefix == kOperatorKeyPrefix
                       ? operatorCursorHooks(input, [] {})
                       : targetCursorHooks(input, [] {}));
  cursor.next(kNow);
  cursor.onReply({ 200,
                   boost::json::serialize(boost::json::object{
                     { listName, items }, { "as_of", 9 } }),
                   1 });
}

void
mustServe(TagEngine& engine)
{
  const TargetRegistry& registry = engine.board().registry;
  const TargetSlot slot = registry.find("i-00000001");
  if (slot == kNoTargetSlot || !registry.at(slot).takesNewFlows()) {
    std::abort();
  }
  for (TargetSlot other = 0; other < registry.targets().size(); ++other) {
    const KnownTarget& target = registry.at(other);
    if (other != slot && target.record.number == 1 && target.takesNewFlows()) {
      std::abort();
    }
  }
  CallerPacket packet;
  packet.flow = *parseFlowKey("tcp 100.64.0.7:40001 198.18.0.1:443");
  packet.isOpening = true;
  engine.onPacket(packet, kNow);
  engine.tick(kNow);
}

}

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
  if (size < 2) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const std::size_t keySize = std::min<std::size_t>(data[0], size - 1);
  std::string key;
  for (const char each : bytes.substr(1, keySize)) {
    // Keys are text.
    key += static_cast<char>(each & 0x7f);
  }
  if (key == "i-00000001") {
    return 0;
  }
  const std::string prefix(kTargetKeyPrefix);
  const auto odd =
    makeItem(prefix + key, bytes.substr(1 + keySize), data[0] % 9 + 1);
  const auto good = makeItem(prefix + "i-00000001", kTarget, 1);
  const auto second = makeItem(prefix + "i-00000002", kTarget, 2);
  TagEngine engine = makeEngine("first");
  read(engine,
       std::string(kOperatorKeyPrefix),
       { makeItem(kRoutesKey, kRoutes, 1) },
       "items");
  read(engine, prefix, { good, second, odd }, "items");
  mustServe(engine);
  ViewUpdate update;
  update.view.targetsEra = 1;
  update.targets =
    engine.board().registry.changesSince({}, update.isFull, kNow);
  const std::string encoded = encodeViewUpdate(update);
  const auto decoded = decodeViewUpdate(
    { reinterpret_cast<const std::uint8_t*>(encoded.data()), encoded.size() });
  if (!decoded) {
    std::abort();
  }
  TagEngine peer = makeEngine("second");
  peer.onTargetListing({ { 1, 9 }, decoded->targets }, kNow, kNow);
  mustServe(peer);
  // The raw bytes as a response.
  parseStoreResponse(bytes);
  return 0;
}
