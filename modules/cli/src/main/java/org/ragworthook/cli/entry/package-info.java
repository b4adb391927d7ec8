/**
 * How the command line reaches the system: settings from file, environment and flags, and
 * an HTTP client of an entry.
 */
package org.ragworthook.cli.entry;
