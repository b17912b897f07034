/** Components of the stand-ins that live as long as their process. */
package dev.agatepier.standin.process.internal;
