//! Parses the declared objects in a YAML file: models, adapters, engines, services and accounts.

use std::collections::BTreeSet;

use reachtally_core::declare::{Account, Adapter, Engine, Kind, Layers, Model, Object, Service};

use crate::finding::Findings;
use crate::reader::{Node, Reader};
use crate::settings::read_key_hash;

/// Maximum number of layers of a model.
const LAYERS_MAX: u64 = 4096;
/// Maximum number of requests that an engine may hold or an account may run concurrently.
const RUNNING_MAX: u64 = 1 << 20;

/// Maximum priority of an account.
const PRIORITY_MAX: u64 = 9;

/// Parses the objects declared in `text`, the content of `file`. Checks that names are unique within their
/// kind, that layer ranges fit their model and that they cover it without gaps.
///
/// # Errors
/// All findings with their positions.
pub fn parse(file: &str, text: &str) -> Result<Vec<Object>, Findings> {
    let mut reader = Reader::new(file);
    let Some(document) = reader.parse_document(text) else {
        return reader.into_result(None);
    };
    let root = Node::root(&document);
    if !reader.check_fields(
        &root,
        &["models", "adapters", "engines", "services", "accounts"],
    ) {
        return reader.into_result(None);
    }
    let mut objects = Vec::new();
    let mut names = BTreeSet::new();
    let mut coverage = LayerCoverage::default();
    for_each_item(&mut reader, &root, "models", |reader, node| {
        check_unique(reader, node, Kind::Model, &mut names);
        let model = read_model(reader, node)?;
        objects.push(Object::Model(model));
        Some(())
    });
    for_each_item(&mut reader, &root, "adapters", |reader, node| {
        check_unique(reader, node, Kind::Adapter, &mut names);
        let adapter = read_adapter(reader, node)?;
        if find_model(&objects, &adapter.model).is_none() {
            report_unknown_model(reader, node, &adapter.model);
        }
        objects.push(Object::Adapter(adapter));
        Some(())
    });
    for_each_item(&mut reader, &root, "engines", |reader, node| {
        check_unique(reader, node, Kind::Engine, &mut names);
        let engine = read_engine(reader, node)?;
        coverage.add(reader, node, &engine, &objects);
        objects.push(Object::Engine(engine));
        Some(())
    });
    for_each_item(&mut reader, &root, "services", |reader, node| {
        check_unique(reader, node, Kind::Service, &mut names);
        let service = read_service(reader, node)?;
        objects.push(Object::Service(service));
        Some(())
    });
    for_each_item(&mut reader, &root, "accounts", |reader, node| {
        check_unique(reader, node, Kind::Account, &mut names);
        let account = read_account(reader, node)?;
        objects.push(Object::Account(account));
        Some(())
    });
    // A range that failed to parse would be reported as a gap as well, so coverage is only checked without findings.
    if reader.has_no_findings() {
        coverage.check(&mut reader, &root, &objects);
    }
    reader.into_result(Some(objects))
}

fn for_each_item<F>(reader: &mut Reader<'_>, root: &Node<'_, '_>, name: &str, mut read: F)
where
    F: FnMut(&mut Reader<'_>, &Node<'_, '_>) -> Option<()>,
{
    let Some(node) = root.get(name) else {
        return;
    };
    for item in reader.sequence(&node) {
        read(reader, &item);
    }
}

fn check_unique(
    reader: &mut Reader<'_>,
    node: &Node<'_, '_>,
    kind: Kind,
    names: &mut BTreeSet<(Kind, String)>,
) {
    let Some(name) = node.get("name").and_then(|name| name.as_text()) else {
        return;
    };
    if !names.insert((kind, name.to_owned())) {
        let message = format!("the name {name:?} is declared twice");
        reader.report(node, &message, "give each object a name of its own");
    }
}

fn read_text(reader: &mut Reader<'_>, node: &Node<'_, '_>, name: &str) -> Option<String> {
    let node = reader.required(node, name)?;
    reader.text(&node)
}

fn read_number(reader: &mut Reader<'_>, node: &Node<'_, '_>, name: &str, max: u64) -> Option<u32> {
    let node = reader.required(node, name)?;
    reader.number(&node, 1, max).map(|n| n as u32)
}

fn optional_flag(reader: &mut Reader<'_>, node: &Node<'_, '_>, name: &str) -> bool {
    node.get(name)
        .and_then(|node| reader.boolean(&node))
        .unwrap_or(false)
}

fn optional_texts(reader: &mut Reader<'_>, node: &Node<'_, '_>, name: &str) -> Vec<String> {
    node.get(name)
        .map(|node| reader.texts(&node))
        .unwrap_or_default()
}

fn read_model(reader: &mut Reader<'_>, node: &Node<'_, '_>) -> Option<Model> {
    if !reader.check_fields(node, &["name", "layers"]) {
        return None;
    }
    let name = read_text(reader, node, "name");
    let layers = read_number(reader, node, "layers", LAYERS_MAX);
    Some(Model {
        name: name?,
        layers: layers?,
    })
}

fn read_adapter(reader: &mut Reader<'_>, node: &Node<'_, '_>) -> Option<Adapter> {
    if !reader.check_fields(node, &["name", "model"]) {
        return None;
    }
    let name = read_text(reader, node, "name");
    let model = read_text(reader, node, "model");
    Some(Adapter {
        name: name?,
        model: model?,
    })
}

fn find_model<'a>(objects: &'a [Object], name: &str) -> Option<&'a Model> {
    objects.iter().find_map(|object| match object {
        Object::Model(model) if model.name == name => Some(model),
        _ => None,
    })
}

fn report_unknown_model(reader: &mut Reader<'_>, node: &Node<'_, '_>, name: &str) {
    let message = format!("no model {name:?} is declared");
    reader.report(node, &message, "declare it under models, or name another");
}

const ENGINE_FIELDS: [&str; 8] = [
    "name",
    "box",
    "domain",
    "url",
    "model",
    "layers",
    "slots",
    "checks_fence",
];

fn read_engine(reader: &mut Reader<'_>, node: &Node<'_, '_>) -> Option<Engine> {
    if !reader.check_fields(node, &ENGINE_FIELDS) {
        return None;
    }
    let name = read_text(reader, node, "name");
    let box_name = read_text(reader, node, "box");
    let domain = read_text(reader, node, "domain");
    let url = reader
        .required(node, "url")
        .and_then(|node| reader.url(&node));
    let model = read_text(reader, node, "model");
    let layers = reader
        .required(node, "layers")
        .and_then(|node| read_layers(reader, &node));
    let slots = read_number(reader, node, "slots", RUNNING_MAX);
    let checks_fence = optional_flag(reader, node, "checks_fence");
    Some(Engine {
        name: name?,
        box_name: box_name?,
        domain: domain?,
        url: url?,
        model: model?,
        layers: layers?,
        slots: slots?,
        checks_fence,
    })
}

fn read_layers(reader: &mut Reader<'_>, node: &Node<'_, '_>) -> Option<Layers> {
    let text = reader.text(node)?;
    let parsed = text.split_once("..").and_then(|(first, end)| {
        let (first, end) = (first.trim().parse().ok()?, end.trim().parse().ok()?);
        (first < end).then_some(Layers { first, end })
    });
    if parsed.is_none() {
        let message = format!("{text:?} is not a range of layers");
        reader.report(node, &message, "give FIRST..END with FIRST below END");
    }
    parsed
}

fn read_service(reader: &mut Reader<'_>, node: &Node<'_, '_>) -> Option<Service> {
    if !reader.check_fields(node, &["name", "urls", "repeatable", "deduplicates"]) {
        return None;
    }
    let name = read_text(reader, node, "name");
    let urls_at = reader.required(node, "urls")?;
    let urls: Vec<String> = reader
        .sequence(&urls_at)
        .iter()
        .filter_map(|item| reader.url(item))
        .collect();
    let repeatable = reader
        .required(node, "repeatable")
        .and_then(|node| reader.boolean(&node));
    let deduplicates = optional_flag(reader, node, "deduplicates");
    Some(Service {
        name: name?,
        urls,
        repeatable: repeatable?,
        deduplicates,
    })
}

const ACCOUNT_FIELDS: [&str; 7] = [
    "name",
    "keys",
    "models",
    "adapters",
    "services",
    "max_running",
    "priority",
];

fn read_account(reader: &mut Reader<'_>, node: &Node<'_, '_>) -> Option<Account> {
    if !reader.check_fields(node, &ACCOUNT_FIELDS) {
        return None;
    }
    let name = read_text(reader, node, "name");
    let keys_at = reader.required(node, "keys")?;
    let key_hashes: Vec<String> = reader
        .sequence(&keys_at)
        .iter()
        .filter_map(|item| read_key_hash(reader, item))
        .collect();
    let models = optional_texts(reader, node, "models");
    let services = optional_texts(reader, node, "services");
    let adapters = optional_texts(reader, node, "adapters");
    let priority = node
        .get("priority")
        .and_then(|node| reader.number(&node, 0, PRIORITY_MAX))
        .unwrap_or(0) as u32;
    let max_running = read_number(reader, node, "max_running", RUNNING_MAX);
    Some(Account {
        name: name?,
        key_hashes,
        models,
        adapters,
        services,
        max_running: max_running?,
        priority,
    })
}

/// The layer ranges covered by the engines of each model.
#[derive(Default)]
struct LayerCoverage {
    ranges: Vec<(String, Layers)>,
}

impl LayerCoverage {
    fn add(
        &mut self,
        reader: &mut Reader<'_>,
        node: &Node<'_, '_>,
        engine: &Engine,
        known: &[Object],
    ) {
        match find_model(known, &engine.model) {
            None => report_unknown_model(reader, node, &engine.model),
            Some(model) if engine.layers.end > model.layers => {
                let (range, layers) = (engine.layers, model.layers);
                let message = format!("range {range} goes beyond the model's {layers} layers");
                reader.report(node, &message, "end the range at the model's last layer");
            }
            Some(_) => self.ranges.push((engine.model.clone(), engine.layers)),
        }
    }

    /// Reports each model that no chain of engines covers completely.
    fn check(&self, reader: &mut Reader<'_>, root: &Node<'_, '_>, objects: &[Object]) {
        for object in objects {
            let Object::Model(model) = object else {
                continue;
            };
            if let Some(gap) = self.first_gap(model) {
                let name = &model.name;
                let message =
                    format!("no chain of engines covers model {name:?} from layer {gap} on");
                let node = root.get("models").unwrap_or_else(|| root.clone());
                reader.report(
                    &node,
                    &message,
                    "declare an engine whose range begins there",
                );
            }
        }
    }

    /// Returns the furthest layer that a chain of ranges from layer 0 reaches, if no chain reaches the end of the model.
    fn first_gap(&self, model: &Model) -> Option<u32> {
        let mut reachable = BTreeSet::from([0]);
        let mut pending = vec![0];
        while let Some(layer) = pending.pop() {
            for (name, range) in &self.ranges {
                if *name == model.name && range.first == layer && reachable.insert(range.end) {
                    pending.push(range.end);
                }
            }
        }
        let gap_start = reachable.last().copied().unwrap_or(0);
        (!reachable.contains(&model.layers)).then_some(gap_start)
    }
}
