//! Counters, whose increments the daemon exports as metrics.

/// Define a struct of counters together with their names and descriptions.
macro_rules! counters {
    ($(#[$table_doc:meta])* $table:ident { $($(#[doc = $doc:literal])* $name:ident,)* }) => {
        $(#[$table_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
        pub struct $table {
            $($(#[doc = $doc])* pub $name: u64,)*
        }

        impl $table {
            /// Iterate over the counters by metric name.
            pub fn each(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name),)*].into_iter()
            }

            /// Iterate over the descriptions, in the same order.
            pub fn descriptions() -> impl Iterator<Item = &'static str> {
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
        /// Requests given up because engines were lost in a row under one step.
        requests_engines_lost,
        /// Requests whose caller disconnected.
        requests_abandoned,
        /// Tokens delivered to callers.
        tokens_delivered,
        /// Calls to engines.
        engine_calls,
        /// Steps sent to engines.
        engine_steps,
        /// Step results dropped because they were not awaited (late, duplicate or superseded).
        results_dropped,
        /// Calls to engines that failed or timed out.
        engine_calls_failed,
        /// Stages replaced in running requests.
        stages_shifted,
        /// Stages restored by replaying their own inputs.
        restored_by_replay,
        /// Chains restored by prefilling every stage again.
        restored_by_prefill,
        /// Stages moved by export and import of their KV.
        restored_by_import,
        /// Stages restored on their standby.
        restored_from_standby,
        /// Spans sent to standbys.
        standby_spans,
        /// Calls to plain services.
        service_calls,
        /// Retries of calls to plain services.
        service_retries,
        /// Retries denied by the retry budget.
        retries_denied,
        /// Appends to the claim stream.
        claim_appends,
        /// Claims, releases and outcomes in those appends.
        claim_entries,
        /// Appends whose response was lost.
        claim_answers_lost,
        /// Requests answered from a recorded outcome.
        answered_from_record,
        /// Configuration records folded.
        config_folded,
        /// Configuration operations rejected as conflicts.
        config_conflicts,
        /// Detected pauses of this daemon.
        pauses_noticed,
        /// Orders sent to targets.
        orders_given,
        /// Orders withheld because too little of the lease was left.
        orders_withheld,
    }
}

pub(crate) use counters;
