//! What routers make of limits that a backend server names and later names no more.

mod common;

use common::at;
use policy::Time;
use relay::LimitStatement;
use relay::RateLimit;

fn limit(per_second: f64) -> Option<RateLimit> {
    RateLimit::per_second(per_second)
}

fn said(limit: Option<RateLimit>, said_at: Time) -> LimitStatement {
    LimitStatement {
        value: limit,
        said_at,
    }
}

#[test]
fn a_server_that_never_names_a_limit_says_nothing() {
    let statement = LimitStatement::after_response(None, None, at(0), at(10));
    assert_eq!(statement, None);
}

#[test]
fn a_limit_that_rises_or_falls_is_the_one_named_last() {
    let known = Some(said(limit(3.0), at(0)));
    let statement = LimitStatement::after_response(known, limit(5.0), at(5), at(10));
    assert_eq!(statement, Some(said(limit(5.0), at(10))));
}

#[test]
fn a_limit_ends_with_a_response_that_names_none() {
    let known = Some(said(limit(3.0), at(0)));
    let statement = LimitStatement::after_response(known, None, at(5), at(10));
    assert_eq!(statement, Some(said(None, at(10))));
}

#[test]
fn a_late_response_to_an_earlier_request_ends_no_limit() {
    let known = Some(said(limit(3.0), at(8)));
    let statement = LimitStatement::after_response(known, None, at(5), at(10));
    assert_eq!(statement, known);
}

#[test]
fn of_statements_to_two_routers_the_later_one_counts_in_either_order() {
    let (named, ended) = (said(limit(3.0), at(0)), said(None, at(2_000)));
    assert_eq!(named.merge(ended), ended);
    assert_eq!(ended.merge(named), ended);
}

#[test]
fn a_statement_that_comes_back_delayed_is_not_taken_for_a_later_one() {
    let named = said(limit(3.0), at(0));
    assert_eq!(named.merge(said(limit(3.0), at(300))), named);
}
