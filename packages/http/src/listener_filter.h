/// \file
/// Keeps new connections off a listening socket that is about to close.
#pragma once

namespace crocuswood::http {

/// Makes the system drop the segments that would open a connection, while those
/// of connections being established still pass. Closing the socket resets every
/// connection that has not been accepted, and without the filter one may be
/// established between the last accept and the close.
/// \returns whether the system has taken the filter.
bool dropNewConnections(int ListeningSocket);

} // namespace crocuswood::http
