namespace cpp hyssopdeal.coordination.gen

/// Channel `ledger`: claims, releases and outcomes from entries to the leader.

struct ledger_request { 1: required binary command }

struct ledger_failure { 1: i32 code, 2: i32 verdict, 3: string text }

struct ledger_reply {
    1: binary result,
    2: ledger_failure error,
    3: string leader
}
