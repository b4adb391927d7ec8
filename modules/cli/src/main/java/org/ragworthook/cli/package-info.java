/**
 * The command line of operators and callers: finds the command, reads its options and
 * settings, and turns failures into exit codes.
 */
package org.ragworthook.cli;
