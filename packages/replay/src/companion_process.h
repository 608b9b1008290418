/// \file
/// A companion under replay: the real core over the fakes.
#pragma once

#include "fake_endpoint.h"
#include "fake_store.h"
#include "network.h"
#include "process.h"

#include <crocuswood/companion.h>
#include <crocuswood/platform.h>

#include <memory>
#include <optional>
#include <vector>

namespace crocuswood::replay {

/// Steps a companion core.
class companion_process : public process {
public:
  companion_process(world &World, const companion_description &Description,
                    companion::options Options, network &Network,
                    fake_store &Store);

  void setEndpoint(fake_endpoint &Value) { Endpoint = &Value; }
  void announce(const companion::endpoint_announcement &Announcement);
  void requestStop();
  const configuration &getConfiguration() const {
    return Core->getConfiguration();
  }

  void linkOpened(link_id Link, const peer_address &Remote) override;
  void envelopeReceived(link_id Link, peer_envelope Envelope) override;
  void linkClosed(link_id Link, const std::string &Reason) override;

protected:
  void begin() override;

private:
  void handle(companion::event Event);
  void apply(companion::action &Action);
  void startTask(companion::start_task &Start);
  void refreshRows();
  void pollConfiguration();

  companion::options Options;
  network &Network;
  fake_store &Store;
  fake_endpoint *Endpoint = nullptr;
  std::unique_ptr<store_client> Table;
  std::unique_ptr<companion::core> Core;
  std::unique_ptr<platform::entry_registry> Registry;
  std::unique_ptr<platform::configuration_store> Configurations;
  std::optional<instant> Wake;
};

} // namespace crocuswood::replay
