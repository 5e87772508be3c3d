//! Counters of forwarded requests.

use crate::counters::counters;

counters! {
    /// Counters since the process started.
    Tally {
        /// Connections accepted, from callers and other boxes.
        connections_accepted,
        /// Connections of callers closed unread, since the box had more work than it could carry.
        connections_turned_away,
        /// Waiting connections closed to make room for new ones.
        connections_evicted,
        /// Connections that could not be accepted, most often for want of descriptors.
        accepts_failed,
        /// Requests received.
        requests_received,
        /// Requests that no route or key allows.
        requests_denied,
        /// Requests refused that did not run.
        requests_refused,
        /// Incomplete bodies dropped since others needed their memory.
        bodies_evicted,
        /// Requests refused since there was no memory for their bodies, including evicted ones.
        bodies_refused,
        /// Requests whose bodies were not complete in time.
        bodies_overdue,
        /// Requests of which an unknown part ran.
        requests_unknown,
        /// Requests whose whole answer was passed on.
        requests_answered,
        /// Requests handed over to other boxes, since this box does not reach their targets.
        requests_handed_over,
        /// Requests taken over from other boxes.
        requests_taken_over,
        /// Streams that ended before they were whole.
        streams_cut,
        /// Responses that ended early since their target broke off.
        truncated_by_target,
        /// Responses that ended early since the box that had taken over the request broke off.
        truncated_by_other_box,
        /// Responses that ended early since they were due.
        truncated_by_deadline,
        /// Responses that ended early since their request was quarantined.
        truncated_by_quarantine,
        /// Responses that ended early since their caller did not read.
        truncated_by_slow_caller,
        /// Responses that ended early at the end of the grace period.
        truncated_by_shutdown,
        /// Streams that went on over another chain.
        streams_resumed,
        /// Times that streams went on over a repaired path.
        streams_repaired,
        /// Callers cut off since they did not read their answers.
        readers_cut,
        /// Sends to targets.
        sends,
        /// Sends that came back with the proof that nothing ran.
        sends_not_run,
        /// Sends to a target within a time in which it wanted none.
        sends_in_rest,
        /// Sends to targets that state a rate limit.
        sends_limited,
        /// Sends to such targets without a permit.
        sends_unpermitted,
        /// Waits of requests for a permit.
        permit_waits,
        /// Requests refused because of rate limits alone.
        requests_limited,
        /// Requests that waited in this box for their service to have room.
        requests_queued,
        /// Requests refused because others of their service come before them, or none is served in time.
        requests_shed,
        /// Requests for contended services beyond the share of their account.
        requests_beyond_share,
        /// Answers that asked for such a time.
        rests_asked,
        /// Sends whose answer was lost or spoilt.
        sends_lost,
        /// Responses of targets that only the end of their connection ends.
        responses_unframed,
        /// Responses of targets dropped because their head is malformed.
        responses_malformed,
        /// Second sends that the budget granted.
        second_sends,
        /// Second sends that the budget forbade.
        second_sends_denied,
        /// Retries written to a connection to their target.
        retries_written,
        /// Retries that their targets answered, so that they have read them.
        retries_read,
        /// Targets asked whether they read what they are sent, before a retry.
        reads_checked,
        /// Those that did not respond, so that the retry went elsewhere.
        reads_unconfirmed,
        /// Sends given up without a response, which their targets may still read.
        sends_unread,
        /// Targets found to take no connections.
        targets_found_dead,
        /// Connections opened only to see whether a target accepts them.
        targets_probed,
        /// Ends of targets under requests, each that this box saw first.
        ends_under_requests,
        /// Interruptions of requests that are no evidence against them.
        interruptions_without_evidence,
        /// Requests refused because targets that began to run them ended.
        requests_quarantined,
        /// Requests sent although a part of their prompts is quarantined, to try it again.
        quarantine_trials,
        /// Entries of targets that another writer spoiled.
        entries_spoiled,
        /// Failures of targets that led to a hold-off.
        target_failures,
        /// Configurations put in force.
        configurations_applied,
        /// Reads of the store that failed.
        store_reads_failed,
        /// Orders given to engines.
        orders_given,
    }
}
