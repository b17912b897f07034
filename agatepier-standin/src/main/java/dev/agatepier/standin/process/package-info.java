/** Scope of a stand-in process: platform, engine, plain service, proxy and load generator. */
package dev.agatepier.standin.process;
