/** What lives as long as a stand-in process: platform, engine, plain service, proxy and load. */
package dev.agatepier.standin.process;
