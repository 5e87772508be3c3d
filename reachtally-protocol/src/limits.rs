//! Encoding of the rate limits of targets, and of the permits with which boxes enforce them.

use std::time::Duration;

use reachtally_core::forward::limit::{
    DemandPart, DemandRate, Grant, Grants, LimitReport, PermitRequest, RateLimit, ServiceDemand,
};
use reachtally_core::ids::Incarnation;

use crate::generated::relay;
use crate::load::target_run;

/// Maximum number of limits in one message. With target ids of a dozen bytes and run marks, the datagram is not
/// fragmented.
pub const LIMITS_IN_MESSAGE: usize = 36;
/// Rates and fractions are encoded in thousandths.
pub(crate) const MILLI: f64 = 1000.0;

pub(crate) fn to_milli(per_second: f64) -> u64 {
    (per_second * MILLI).round() as u64
}

pub(crate) fn limits_to_wire(limits: &[LimitReport]) -> relay::Limits {
    let limit = |report: &LimitReport| relay::Limit {
        target: report.target.id.to_string(),
        run_mark: u32::from(report.target.mark.0),
        per_second_milli: report
            .limit
            .map_or(0, |limit| to_milli(limit.per_second()).max(1)),
        age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
    };
    relay::Limits {
        limits: limits.iter().map(limit).collect(),
    }
}

pub(crate) fn limits_from_wire(limits: relay::Limits) -> Vec<LimitReport> {
    let limit = |limit: relay::Limit| LimitReport {
        target: target_run(limit.target, limit.run_mark),
        limit: match limit.per_second_milli {
            0 => None,
            milli => RateLimit::new(milli as f64 / MILLI),
        },
        age: Duration::from_millis(u64::from(limit.age_ms)),
    };
    limits.limits.into_iter().map(limit).collect()
}

fn demands_to_wire(demands: &[ServiceDemand]) -> Vec<relay::ServiceDemand> {
    let demand = |demand: &ServiceDemand| relay::ServiceDemand {
        service: demand.service.to_string(),
        per_second_milli: to_milli(demand.rate.per_second()),
        held: demand.held,
    };
    demands.iter().map(demand).collect()
}

fn demands_from_wire(demands: Vec<relay::ServiceDemand>) -> Vec<ServiceDemand> {
    let demand = |demand: relay::ServiceDemand| ServiceDemand {
        service: demand.service.into(),
        rate: DemandRate::new(demand.per_second_milli as f64 / MILLI),
        held: demand.held,
    };
    demands.into_iter().map(demand).collect()
}

pub(crate) fn request_to_wire(req: &PermitRequest) -> relay::PermitRequest {
    relay::PermitRequest {
        run: req.run.0,
        number: req.number,
        demands: demands_to_wire(&req.demands),
    }
}

pub(crate) fn request_from_wire(req: relay::PermitRequest) -> PermitRequest {
    PermitRequest {
        run: Incarnation(req.run),
        number: req.number,
        demands: demands_from_wire(req.demands),
    }
}

pub(crate) fn part_to_wire(part: &DemandPart) -> relay::DemandPart {
    relay::DemandPart {
        run: part.run.0,
        domain: part.domain.clone(),
        demands: demands_to_wire(&part.demands),
    }
}

pub(crate) fn part_from_wire(part: relay::DemandPart) -> DemandPart {
    DemandPart {
        run: Incarnation(part.run),
        domain: part.domain,
        demands: demands_from_wire(part.demands),
    }
}

pub(crate) fn grants_to_wire(grants: &Grants) -> relay::Grants {
    let grant = |grant: &Grant| relay::Grant {
        target: grant.target.id.to_string(),
        run_mark: u32::from(grant.target.mark.0),
        count: grant.count,
    };
    relay::Grants {
        number: grants.number,
        grants: grants.grants.iter().map(grant).collect(),
    }
}

pub(crate) fn grants_from_wire(grants: relay::Grants) -> Grants {
    let grant = |grant: relay::Grant| Grant {
        target: target_run(grant.target, grant.run_mark),
        count: grant.count,
    };
    Grants {
        number: grants.number,
        grants: grants.grants.into_iter().map(grant).collect(),
    }
}
