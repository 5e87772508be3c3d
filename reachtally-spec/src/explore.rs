//! Exhaustive breadth-first exploration of a model.

use std::hash::{DefaultHasher, Hash, Hasher};

use pathfinding::prelude::bfs_reach;

/// A system with a finite number of states under its budgets.
pub trait Model: Sized {
    /// What may happen next.
    type Action: Clone + std::fmt::Debug;

    /// The actions possible now.
    fn actions(&self) -> Vec<Self::Action>;

    /// Let an action happen.
    fn apply(&mut self, action: &Self::Action);

    /// Text that is the same for states with the same future.
    fn fingerprint(&self) -> String;

    /// What promise is broken in this state, if any.
    fn violation(&self) -> Option<String>;
}

/// What an exploration found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found<A> {
    /// States visited.
    pub states: usize,
    /// Length of the longest trace visited.
    pub depth: usize,
    /// Whether every state within the budgets was visited.
    pub exhausted: bool,
    /// The first violation, with a shortest trace.
    pub violation: Option<(Vec<A>, String)>,
}

impl<A: std::fmt::Debug> std::fmt::Display for Found<A> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let all = if self.exhausted { "all" } else { "not all" };
        writeln!(f, "{} states ({all}), depth {}", self.states, self.depth)?;
        if let Some((trace, what)) = &self.violation {
            writeln!(f, "violation: {what}")?;
            for (number, action) in trace.iter().enumerate() {
                writeln!(f, "{:>3}. {action:?}", number + 1)?;
            }
        }
        Ok(())
    }
}

/// A state by the trace that leads to it. Worlds can't be copied, since their typestates are spent
/// by each transition; so a state is built anew from its trace. States with the same fingerprint are
/// the same.
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

/// Visit the states reachable from `start`, `most` at most, until a violation is found.
pub fn explore<M: Model>(start: impl Fn() -> M, most: usize) -> Found<M::Action> {
    let first = Node {
        trace: Vec::new(),
        digest: digest(&start()),
    };
    let successors = |node: &Node<M::Action>| -> Vec<Node<M::Action>> {
        let actions = rebuild(&start, &node.trace).actions();
        let next = |action: M::Action| {
            let mut trace = node.trace.clone();
            trace.push(action);
            let digest = digest(&rebuild(&start, &trace));
            Node { trace, digest }
        };
        actions.into_iter().map(next).collect()
    };
    let mut found = Found {
        states: 0,
        depth: 0,
        exhausted: true,
        violation: None,
    };
    for node in bfs_reach(first, successors) {
        found.states += 1;
        found.depth = found.depth.max(node.trace.len());
        if let Some(what) = rebuild(&start, &node.trace).violation() {
            found.exhausted = false;
            found.violation = Some((node.trace, what));
            break;
        }
        if found.states >= most {
            found.exhausted = false;
            break;
        }
    }
    found
}
