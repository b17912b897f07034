/** What lives as long as a process: tasks, mailboxes, services and the decisions they drive. */
package dev.agatepier.core.process;
