//! Exhaustive breadth-first exploration of a model.

use std::hash::{DefaultHasher, Hash, Hasher};

use pathfinding::prelude::bfs_reach;

/// A transition system whose budgets keep its state space finite.
pub trait Model: Sized {
    /// A transition.
    type Action: Clone + std::fmt::Debug;

    /// Returns the actions enabled in this state.
    fn actions(&self) -> Vec<Self::Action>;

    /// Applies an action.
    fn apply(&mut self, action: &Self::Action);

    /// Returns a text that identifies the state. States with equal texts must behave identically.
    fn fingerprint(&self) -> String;

    /// Describes the invariant that this state violates, if any.
    fn violation(&self) -> Option<String>;
}

/// The result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration<A> {
    /// Number of visited states.
    pub states: usize,
    /// Length of the longest visited trace.
    pub depth: usize,
    /// Whether every state within the budgets was visited.
    pub exhausted: bool,
    /// The first violation, with a shortest trace.
    pub violation: Option<(Vec<A>, String)>,
}

impl<A: std::fmt::Debug> std::fmt::Display for Exploration<A> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let coverage = if self.exhausted { "all" } else { "not all" };
        writeln!(
            f,
            "{} states ({coverage}), depth {}",
            self.states, self.depth
        )?;
        if let Some((trace, description)) = &self.violation {
            writeln!(f, "violation: {description}")?;
            for (number, action) in trace.iter().enumerate() {
                writeln!(f, "{:>3}. {action:?}", number + 1)?;
            }
        }
        Ok(())
    }
}

/// A state, stored as the trace that leads to it. A world can't be cloned, because its transitions
/// consume its typestates, so a state is rebuilt by replaying its trace. Nodes are equal if the
/// digests of their fingerprints are.
struct Node<A> {
    trace: Vec<A>,
    digest: u64,
}

impl<A: Clone> Clone for Node<A> {
    fn clone(&self) -> Self {
        Node {
            trace: self.trace.clone(),
            digest: self.digest,
        }
    }
}

impl<A> PartialEq for Node<A> {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl<A> Eq for Node<A> {}

impl<A> Hash for Node<A> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

fn digest<M: Model>(model: &M) -> u64 {
    let mut hasher = DefaultHasher::new();
    model.fingerprint().hash(&mut hasher);
    hasher.finish()
}

fn rebuild<M: Model>(start: &impl Fn() -> M, trace: &[M::Action]) -> M {
    let mut model = start();
    for action in trace {
        model.apply(action);
    }
    model
}

/// Visits the states reachable from `start` until it finds a violation or has visited `max_states`.
pub fn explore<M: Model>(start: impl Fn() -> M, max_states: usize) -> Exploration<M::Action> {
    let first = Node {
        trace: Vec::new(),
        digest: digest(&start()),
    };
    let successors = |node: &Node<M::Action>| -> Vec<Node<M::Action>> {
        let actions = rebuild(&start, &node.trace).actions();
        let successor = |action: M::Action| {
            let mut trace = node.trace.clone();
            trace.push(action);
            let digest = digest(&rebuild(&start, &trace));
            Node { trace, digest }
        };
        actions.into_iter().map(successor).collect()
    };
    let mut exploration = Exploration {
        states: 0,
        depth: 0,
        exhausted: true,
        violation: None,
    };
    for node in bfs_reach(first, successors) {
        exploration.states += 1;
        exploration.depth = exploration.depth.max(node.trace.len());
        if let Some(description) = rebuild(&start, &node.trace).violation() {
            exploration.exhausted = false;
            exploration.violation = Some((node.trace, description));
            break;
        }
        if exploration.states >= max_states {
            exploration.exhausted = false;
            break;
        }
    }
    exploration
}
