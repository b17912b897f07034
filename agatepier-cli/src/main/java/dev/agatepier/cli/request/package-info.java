/** What lives for one operator's request to the administration API. */
package dev.agatepier.cli.request;
