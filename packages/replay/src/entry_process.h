/// \file
/// An entry under replay: the real core and the real writers of the platform's
/// rows, over the fakes.
#pragma once

#include "fake_store.h"
#include "network.h"
#include "process.h"

#include <crocuswood/config.h>
#include <crocuswood/entry.h>
#include <crocuswood/platform.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocuswood::replay {

/// Steps an entry core.
class entry_process : public process {
public:
  using answered = std::function<void(const job_answer &)>;

  entry_process(world &World, const entry_description &Description,
                entry::options Options, peer_address Address, network &Network,
                fake_store &Store);

  void submit(request_id Request, job_request Job, answered Answered);
  void cancel(request_id Request);
  void change(const config::change &Change);
  void requestStop();

  const peer_address &getAddress() const { return Address; }
  /// \returns whether a health check would pass.
  bool isReady() const;
  const configuration &getConfiguration() const;
  /// \returns wasted messages over all lives.
  std::uint64_t countWasted() const;

  void linkOpened(link_id Link, const peer_address &Remote) override;
  void envelopeReceived(link_id Link, peer_envelope Envelope) override;
  void linkClosed(link_id Link, const std::string &Reason) override;

protected:
  void begin() override;
  void end() override;

private:
  void handle(entry::event Event);
  void apply(std::vector<entry::action> Actions);
  void apply(entry::action &Action);
  void refreshRows();
  void pollConfiguration();
  void advanceClaims();

  entry::options Options;
  peer_address Address;
  network &Network;
  fake_store &Store;
  std::unique_ptr<store_client> Table;
  std::unique_ptr<entry::core> Core;
  std::unique_ptr<platform::claim_writer> Claims;
  std::unique_ptr<platform::entry_registry> Registry;
  std::unique_ptr<platform::configuration_store> Configurations;
  std::map<request_id, answered> Requests;
  std::optional<instant> Wake;
  std::uint64_t EarlierWasted = 0;
};

} // namespace crocuswood::replay
