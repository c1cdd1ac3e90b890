//! Retry budget, which limits retries to a fraction of the requests of each service.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use cassiafold_config::ServiceId;

/// Number of retries that each first attempt adds to the budget.
const DEPOSIT_PER_REQUEST: f64 = 0.1;
/// Maximum and initial balance, in retries.
const BALANCE_MAX: f64 = 10.0;

/// Retry budgets by service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balances: Mutex<HashMap<ServiceId, f64>>,
}

impl RetryBudget {
    /// Adds the deposit of a first attempt.
    pub fn deposit(&self, service: &ServiceId) {
        self.update(service, |balance| {
            *balance = (*balance + DEPOSIT_PER_REQUEST).min(BALANCE_MAX)
        });
    }

    /// Withdraws one retry. Returns false if the balance is less than one retry.
    pub fn withdraw(&self, service: &ServiceId) -> bool {
        self.update(service, |balance| {
            let allowed = *balance >= 1.0;
            if allowed {
                *balance -= 1.0;
            }
            allowed
        })
    }

    fn update<T>(&self, service: &ServiceId, change: impl FnOnce(&mut f64) -> T) -> T {
        let mut balances = self.balances.lock().unwrap_or_else(PoisonError::into_inner);
        match balances.get_mut(service) {
            Some(balance) => change(balance),
            None => change(balances.entry(service.clone()).or_insert(BALANCE_MAX)),
        }
    }
}

#[cfg(test)]
mod tests;
