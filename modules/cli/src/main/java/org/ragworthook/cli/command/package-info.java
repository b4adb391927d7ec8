/**
 * The commands, one class each.
 */
package org.ragworthook.cli.command;
