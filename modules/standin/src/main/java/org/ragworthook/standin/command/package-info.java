/**
 * The program {@code ragworthook-standin}: one subcommand for each stand-in and one for
 * the load driver.
 */
package org.ragworthook.standin.command;
