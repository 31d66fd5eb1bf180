//! Roll-outs, withdrawals, suspensions and orders to engines.
