use super::*;

#[test]
fn retries_are_limited_to_the_balance_and_a_tenth_of_the_first_attempts() {
    let (budget, service) = (RetryBudget::default(), ServiceId::from("portal"));
    let spend = || (0..100).filter(|_| budget.withdraw(&service)).count();
    assert_eq!(spend(), 10);
    (0..55).for_each(|_| budget.deposit(&service));
    assert_eq!(spend(), 5);
    (0..1_000).for_each(|_| budget.deposit(&service));
    assert_eq!(spend(), 10);
}
