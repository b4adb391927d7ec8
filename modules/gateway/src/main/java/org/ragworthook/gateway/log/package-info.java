/**
 * Writes log lines without ever holding up the thread that logs.
 */
package org.ragworthook.gateway.log;
