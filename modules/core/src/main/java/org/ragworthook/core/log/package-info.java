/**
 * Logs: one line of key=value pairs for each event, through
 * {@link java.lang.System.Logger}.
 */
package org.ragworthook.core.log;
