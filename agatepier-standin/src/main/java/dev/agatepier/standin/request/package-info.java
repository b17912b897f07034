/** What lives for one request to a stand-in: generated answers and the record of what ran. */
package dev.agatepier.standin.request;
