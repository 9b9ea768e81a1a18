//! Logs and metrics for the cluster-wide duties, which one host performs under a lease.

use super::*;

/// Logs and counts one report about the duties.
pub(crate) fn log(logger: &Logger, report: &DutyReport) {
    match report {
        DutyReport::Demand {
            busy,
            busiest,
            service,
            wanted,
        } => {
            let service = service.to_string();
            gauge!("rhubarbcove_busy_upstreams", "service" => service.clone()).set(*busy);
            gauge!("rhubarbcove_busiest_upstreams", "service" => service.clone()).set(*busiest);
            for (domain, count) in wanted {
                let domain = domain.to_string();
                gauge!("rhubarbcove_wanted_upstreams",
                    "domain" => domain, "service" => service.clone())
                .set(f64::from(*count));
            }
        }
        DutyReport::LeaseEnded { token } => {
            info!(logger, "duties: lease ended"; "token" => token);
            gauge!("rhubarbcove_duty_lease_held").set(0.0);
        }
        DutyReport::LeaseTaken { token } => {
            info!(logger, "duties: lease taken"; "token" => token);
            gauge!("rhubarbcove_duty_lease_held").set(1.0);
        }
        DutyReport::UpstreamsOrdered {
            bound,
            busy,
            busiest,
            count,
            domain,
            is_reclaimable,
            outcome,
            ready,
            service,
        } => {
            info!(logger, "duties: upstreams ordered";
                "bound" => bound, "busiest" => busiest, "busy" => busy,
                "count" => count, "domain" => %domain, "outcome" => outcome,
                "ready" => ready, "reclaimable" => is_reclaimable, "service" => %service);
            counter!("rhubarbcove_upstream_orders_total", "outcome" => outcome.clone())
                .increment(1);
        }
        DutyReport::PricesChecked {
            are_usable: true,
            service,
        } => {
            info!(logger, "duties: prices by failure domain used"; "service" => %service);
        }
        DutyReport::PricesChecked {
            are_usable: false,
            service,
        } => {
            warn!(logger, "duties: prices by failure domain not usable, taken as equal";
                "service" => %service);
        }
        DutyReport::RowsWrittenAgain { reports, token } => {
            info!(logger, "duties: rows written again";
                "reports" => reports, "token" => token);
        }
        DutyReport::Usage {
            missing_hosts,
            outcome,
            requests,
            window,
        } => {
            info!(logger, "duties: usage reported";
                "missing_hosts" => missing_hosts, "outcome" => outcome,
                "requests" => requests, "window" => window);
            counter!("rhubarbcove_usage_reports_total", "outcome" => outcome.clone()).increment(1);
        }
    }
}
