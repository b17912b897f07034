/** Scope of a request to a stand-in: generated responses and records of the requests that ran. */
package dev.agatepier.standin.request;
