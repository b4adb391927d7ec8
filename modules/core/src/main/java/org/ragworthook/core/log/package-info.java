/**
 * Structured logging: one line of key=value pairs for each event, written through
 * {@link java.lang.System.Logger}.
 */
package org.ragworthook.core.log;
