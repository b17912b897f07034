package dev.agatepier.core.process.internal;

/**
 * How the waiting requests of a service are ordered and when they are rejected.
 *
 * @param fromFirstAttempt whether the objective counts from the caller's first attempt
 * @param order order in which requests get slots
 * @param error error of the predictions, which objectives leave a margin for
 * @param spreads whether a request takes an upstream that is worse for it rather than wait longer
 *     for the best one than the difference
 */
record AdmissionRules(
    boolean fromFirstAttempt, ServiceOrder order, PredictionError error, boolean spreads) {}
