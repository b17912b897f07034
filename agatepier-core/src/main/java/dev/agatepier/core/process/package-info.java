/**
 * Components that live as long as the process: tasks, mailboxes, services and the decisions that
 * they own.
 */
package dev.agatepier.core.process;
