//! Declared objects from YAML: models, engines, services, accounts.

use std::collections::BTreeSet;

use reachtally_core::declare::{Account, Adapter, Engine, Kind, Layers, Model, Object, Service};

use crate::finding::Findings;
use crate::reader::{At, Reader};
use crate::settings::key_hash;

/// Most layers a model may have.
const LAYERS_MAX: u64 = 4096;
/// Most requests an engine may hold or an account may run.
const RUNNING_MAX: u64 = 1 << 20;

/// The highest priority an account may have.
const PRIORITY_MAX: u64 = 9;

/// Read the objects declared in `text`, the content of `file`. Names are checked to be unique within
/// their kind, and layer ranges to fit their model.
///
/// # Errors
/// All findings with their places.
pub fn parse(file: &str, text: &str) -> Result<Vec<Object>, Findings> {
    let mut reader = Reader::new(file);
    let Some(document) = reader.load(text) else {
        return reader.finish(None);
    };
    let top = At::top(&document);
    if !reader.fields(
        &top,
        &["models", "adapters", "engines", "services", "accounts"],
    ) {
        return reader.finish(None);
    }
    let mut objects = Vec::new();
    let mut names = BTreeSet::new();
    let mut chains = Chains::default();
    each(&mut reader, &top, "models", |reader, at| {
        unique(reader, at, Kind::Model, &mut names);
        let model = read_model(reader, at)?;
        objects.push(Object::Model(model));
        Some(())
    });
    each(&mut reader, &top, "adapters", |reader, at| {
        unique(reader, at, Kind::Adapter, &mut names);
        let adapter = read_adapter(reader, at)?;
        if find_model(&objects, &adapter.model).is_none() {
            report_no_model(reader, at, &adapter.model);
        }
        objects.push(Object::Adapter(adapter));
        Some(())
    });
    each(&mut reader, &top, "engines", |reader, at| {
        unique(reader, at, Kind::Engine, &mut names);
        let engine = read_engine(reader, at)?;
        chains.add(reader, at, &engine, &objects);
        objects.push(Object::Engine(engine));
        Some(())
    });
    each(&mut reader, &top, "services", |reader, at| {
        unique(reader, at, Kind::Service, &mut names);
        let service = read_service(reader, at)?;
        objects.push(Object::Service(service));
        Some(())
    });
    each(&mut reader, &top, "accounts", |reader, at| {
        unique(reader, at, Kind::Account, &mut names);
        let account = read_account(reader, at)?;
        objects.push(Object::Account(account));
        Some(())
    });
    // A range that could not be read would show as a gap that isn't there.
    if reader.is_clean() {
        chains.check(&mut reader, &top, &objects);
    }
    reader.finish(Some(objects))
}

fn each<F>(reader: &mut Reader<'_>, top: &At<'_, '_>, name: &str, mut read: F)
where
    F: FnMut(&mut Reader<'_>, &At<'_, '_>) -> Option<()>,
{
    let Some(at) = top.get(name) else {
        return;
    };
    for item in reader.items(&at) {
        read(reader, &item);
    }
}

fn unique(
    reader: &mut Reader<'_>,
    at: &At<'_, '_>,
    kind: Kind,
    names: &mut BTreeSet<(Kind, String)>,
) {
    let Some(name) = at.get("name").and_then(|name| name.as_text()) else {
        return;
    };
    if !names.insert((kind, name.to_owned())) {
        let message = format!("the name {name:?} is declared twice");
        reader.report(at, &message, "give each object a name of its own");
    }
}

fn text(reader: &mut Reader<'_>, at: &At<'_, '_>, name: &str) -> Option<String> {
    let at = reader.required(at, name)?;
    reader.text(&at)
}

fn number(reader: &mut Reader<'_>, at: &At<'_, '_>, name: &str, most: u64) -> Option<u32> {
    let at = reader.required(at, name)?;
    reader.number(&at, 1, most).map(|n| n as u32)
}

fn optional_flag(reader: &mut Reader<'_>, at: &At<'_, '_>, name: &str) -> bool {
    at.get(name)
        .and_then(|at| reader.flag(&at))
        .unwrap_or(false)
}

fn optional_texts(reader: &mut Reader<'_>, at: &At<'_, '_>, name: &str) -> Vec<String> {
    at.get(name).map(|at| reader.texts(&at)).unwrap_or_default()
}

fn read_model(reader: &mut Reader<'_>, at: &At<'_, '_>) -> Option<Model> {
    if !reader.fields(at, &["name", "layers"]) {
        return None;
    }
    let name = text(reader, at, "name");
    let layers = number(reader, at, "layers", LAYERS_MAX);
    Some(Model {
        name: name?,
        layers: layers?,
    })
}

fn read_adapter(reader: &mut Reader<'_>, at: &At<'_, '_>) -> Option<Adapter> {
    if !reader.fields(at, &["name", "model"]) {
        return None;
    }
    let name = text(reader, at, "name");
    let model = text(reader, at, "model");
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

fn report_no_model(reader: &mut Reader<'_>, at: &At<'_, '_>, name: &str) {
    let message = format!("no model {name:?} is declared");
    reader.report(at, &message, "declare it under models, or name another");
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

fn read_engine(reader: &mut Reader<'_>, at: &At<'_, '_>) -> Option<Engine> {
    if !reader.fields(at, &ENGINE_FIELDS) {
        return None;
    }
    let name = text(reader, at, "name");
    let box_name = text(reader, at, "box");
    let domain = text(reader, at, "domain");
    let url = reader.required(at, "url").and_then(|at| reader.url(&at));
    let model = text(reader, at, "model");
    let layers = reader
        .required(at, "layers")
        .and_then(|at| range(reader, &at));
    let slots = number(reader, at, "slots", RUNNING_MAX);
    let checks_fence = optional_flag(reader, at, "checks_fence");
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

fn range(reader: &mut Reader<'_>, at: &At<'_, '_>) -> Option<Layers> {
    let text = reader.text(at)?;
    let parsed = text.split_once("..").and_then(|(first, end)| {
        let (first, end) = (first.trim().parse().ok()?, end.trim().parse().ok()?);
        (first < end).then_some(Layers { first, end })
    });
    if parsed.is_none() {
        let message = format!("{text:?} is not a range of layers");
        reader.report(at, &message, "give FIRST..END with FIRST below END");
    }
    parsed
}

fn read_service(reader: &mut Reader<'_>, at: &At<'_, '_>) -> Option<Service> {
    if !reader.fields(at, &["name", "urls", "repeatable", "deduplicates"]) {
        return None;
    }
    let name = text(reader, at, "name");
    let urls_at = reader.required(at, "urls")?;
    let urls: Vec<String> = reader
        .items(&urls_at)
        .iter()
        .filter_map(|item| reader.url(item))
        .collect();
    let repeatable = reader
        .required(at, "repeatable")
        .and_then(|at| reader.flag(&at));
    let deduplicates = optional_flag(reader, at, "deduplicates");
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

fn read_account(reader: &mut Reader<'_>, at: &At<'_, '_>) -> Option<Account> {
    if !reader.fields(at, &ACCOUNT_FIELDS) {
        return None;
    }
    let name = text(reader, at, "name");
    let keys_at = reader.required(at, "keys")?;
    let key_hashes: Vec<String> = reader
        .items(&keys_at)
        .iter()
        .filter_map(|item| key_hash(reader, item))
        .collect();
    let models = optional_texts(reader, at, "models");
    let services = optional_texts(reader, at, "services");
    let adapters = optional_texts(reader, at, "adapters");
    let priority = at
        .get("priority")
        .and_then(|at| reader.number(&at, 0, PRIORITY_MAX))
        .unwrap_or(0) as u32;
    let max_running = number(reader, at, "max_running", RUNNING_MAX);
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

/// The ranges of each model's engines.
#[derive(Default)]
struct Chains {
    ranges: Vec<(String, Layers)>,
}

impl Chains {
    fn add(&mut self, reader: &mut Reader<'_>, at: &At<'_, '_>, engine: &Engine, known: &[Object]) {
        match find_model(known, &engine.model) {
            None => report_no_model(reader, at, &engine.model),
            Some(model) if engine.layers.end > model.layers => {
                let (range, layers) = (engine.layers, model.layers);
                let message = format!("range {range} goes beyond the model's {layers} layers");
                reader.report(at, &message, "end the range at the model's last layer");
            }
            Some(_) => self.ranges.push((engine.model.clone(), engine.layers)),
        }
    }

    /// Report each model whose engines leave a layer uncovered.
    fn check(&self, reader: &mut Reader<'_>, top: &At<'_, '_>, objects: &[Object]) {
        for object in objects {
            let Object::Model(model) = object else {
                continue;
            };
            if let Some(gap) = self.first_gap(model) {
                let name = &model.name;
                let message =
                    format!("no chain of engines covers model {name:?} from layer {gap} on");
                let at = top.get("models").unwrap_or_else(|| top.clone());
                reader.report(&at, &message, "declare an engine whose range begins there");
            }
        }
    }

    /// The first layer that no chain of ranges reaches beyond, if the model's end is not reached.
    fn first_gap(&self, model: &Model) -> Option<u32> {
        let mut reached = BTreeSet::from([0]);
        let mut open = vec![0];
        while let Some(layer) = open.pop() {
            for (name, range) in &self.ranges {
                if *name == model.name && range.first == layer && reached.insert(range.end) {
                    open.push(range.end);
                }
            }
        }
        let furthest = reached.last().copied().unwrap_or(0);
        (!reached.contains(&model.layers)).then_some(furthest)
    }
}
