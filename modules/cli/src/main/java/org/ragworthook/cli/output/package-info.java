/**
 * What commands print: tables for people, JSON for programs, progress on standard error.
 */
package org.ragworthook.cli.output;
