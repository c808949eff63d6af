//! Check-ins as they arrive.

use super::CheckIn;
use super::wire::{Misdirected, Orders, Report};
use crate::http::cbor::{decode, encode};
use crate::http::server::Response;
use crate::node::Node;

impl Node {
    pub fn check_in(&self, body: &[u8]) -> Response {
        let now = self.now();
        {
            let mut core = self.core();
            if core.acting(now).is_none() {
                return self.misdirected(&core);
            }
        }
        let report: Report = match decode(body) {
            Ok(report) => report,
            Err(e) => {
                log::info!("malformed report: {e}");
                return Response::new(400, Vec::new());
            }
        };
        let mut core = self.core();
        let Some((lead, cluster)) = core.acting(now) else {
            return self.misdirected(&core);
        };
        let (term, valid_until) = (lead.term, lead.valid_until);
        match cluster.check_in(&report, now) {
            CheckIn::Orders(orders) => {
                let urgent = std::mem::take(&mut cluster.urgent_rounds);
                drop(core);
                if urgent {
                    self.changed.notify_all();
                }
                let body = encode(&Orders {
                    token: term,
                    orders,
                });
                Response {
                    valid_until: Some(valid_until),
                    ..Response::new(200, body)
                }
            }
            CheckIn::Stale => Response::busy(1),
            CheckIn::Deposed => {
                log::info!("a worker knows a higher term than {term}");
                core.step_down = true;
                Response::busy(1)
            }
        }
    }

    fn misdirected(&self, core: &crate::node::Core) -> Response {
        let foreman = core
            .known_leader
            .as_ref()
            .map(|l| l.node.clone())
            .filter(|n| *n != self.settings.node);
        Response::new(421, encode(&Misdirected { foreman }))
    }
}
