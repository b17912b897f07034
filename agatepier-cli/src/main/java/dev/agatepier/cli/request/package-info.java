/** Objects that live as long as an operator's request to the administration API. */
package dev.agatepier.cli.request;
