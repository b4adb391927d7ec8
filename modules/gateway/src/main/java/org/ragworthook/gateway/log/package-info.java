/**
 * Asynchronous logging that never blocks the thread that logs.
 */
package org.ragworthook.gateway.log;
