//! What is counted. The daemon turns the differences into metrics.

/// A table of counters, each with its meaning.
macro_rules! counters {
    ($(#[$table_doc:meta])* $table:ident { $($(#[doc = $doc:literal])* $name:ident,)* }) => {
        $(#[$table_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
        pub struct $table {
            $($(#[doc = $doc])* pub $name: u64,)*
        }

        impl $table {
            /// Each counter by its metric name.
            pub fn each(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name),)*].into_iter()
            }

            /// What each counter means, in the same order.
            pub fn meanings() -> impl Iterator<Item = &'static str> {
                [$(concat!($($doc),*),)*].into_iter()
            }
        }
    };
}

counters! {
    /// Counters since the daemon's start.
    Counters {
        /// Requests received.
        requests_received,
        /// Requests whose whole answer was delivered.
        requests_completed,
        /// Requests refused that did not run.
        requests_not_run,
        /// Requests that ended with an unknown outcome.
        requests_unknown,
        /// Requests given up because one engine after the other was lost under a step.
        requests_engines_lost,
        /// Requests whose caller hung up.
        requests_abandoned,
        /// Tokens delivered to callers.
        tokens_delivered,
        /// Calls to engines.
        engine_calls,
        /// Steps sent to engines.
        engine_steps,
        /// Step results dropped because they were not the ones awaited (late, doubled or crossed).
        results_dropped,
        /// Calls to engines that failed or were given up on.
        engine_calls_failed,
        /// Stages replaced in running requests.
        stages_shifted,
        /// Stages restored by replaying their own inputs.
        restored_by_replay,
        /// Chains restored by prefilling every stage anew.
        restored_by_prefill,
        /// Stages moved by export and import of their KV.
        restored_by_import,
        /// Stages restored on an engine that followed them as a standby.
        restored_from_standby,
        /// Spans sent to standbys.
        standby_spans,
        /// Calls to plain services.
        service_calls,
        /// Calls to plain services sent again.
        service_retries,
        /// Retries that the budget forbade.
        retries_denied,
        /// Appends to the claim stream.
        claim_appends,
        /// Claims and outcomes carried by those appends.
        claim_entries,
        /// Appends whose answer was lost.
        claim_answers_lost,
        /// Requests answered from a recorded outcome.
        answered_from_record,
        /// Configuration records folded.
        config_folded,
        /// Configuration operations rejected as conflicts.
        config_conflicts,
        /// Times this daemon found that it had been paused.
        pauses_noticed,
        /// Orders given to targets.
        orders_given,
        /// Orders withheld because the lease was not held with enough margin.
        orders_withheld,
    }
}

pub(crate) use counters;
