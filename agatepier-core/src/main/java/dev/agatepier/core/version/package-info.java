/**
 * Data that lives for one published version: the workspace table, the services and the instance
 * list.
 */
package dev.agatepier.core.version;
