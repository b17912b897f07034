/** Parts of the stand-ins that live for one request. */
package dev.agatepier.standin.request.internal;
