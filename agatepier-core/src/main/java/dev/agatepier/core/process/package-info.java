/** Components with the lifetime of a process: tasks, mailboxes, services and their decisions. */
package dev.agatepier.core.process;
