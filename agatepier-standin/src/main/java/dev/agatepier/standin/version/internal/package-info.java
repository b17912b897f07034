/** Parts of the stand-ins that live for one version of the table. */
package dev.agatepier.standin.version.internal;
