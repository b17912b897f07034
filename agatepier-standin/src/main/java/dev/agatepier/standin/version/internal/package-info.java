/** Implementation of the stand-ins, in the scope of a version of the table. */
package dev.agatepier.standin.version.internal;
