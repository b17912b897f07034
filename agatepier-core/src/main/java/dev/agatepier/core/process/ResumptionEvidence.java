package dev.agatepier.core.process;

/**
 * What a router knows of the software versions that may have begun a stream.
 *
 * @param routersAsked number of routers that were asked for the origin
 * @param routersReplied number of those that have replied without knowing it
 * @param softwareVersions number of software versions that the service had in the lifetime of the
 *     stream
 * @param complete whether these are known to be all
 * @param listAgeNanos time since the start of the read that last confirmed the instance list;
 *     negative if none has
 */
public record ResumptionEvidence(
    int routersAsked,
    int routersReplied,
    int softwareVersions,
    boolean complete,
    long listAgeNanos) {}
