/** Implementation of the stand-ins, in the scope of a request. */
package dev.agatepier.standin.request.internal;
