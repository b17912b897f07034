package dev.agatepier.core.process;

/**
 * Where a workspace stands in the fair order of a service at one moment.
 *
 * @param workspace name of the workspace
 * @param virtualService its virtual service, in cost units per weight
 * @param firstVirtualService virtual service of the waiting workspace that is served next; 0 if
 *     none waits
 * @param waitingWorkspaces number of workspaces that wait
 */
public record FairPosition(
    String workspace, double virtualService, double firstVirtualService, int waitingWorkspaces) {}
