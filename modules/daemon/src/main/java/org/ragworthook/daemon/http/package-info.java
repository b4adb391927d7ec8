/**
 * What every HTTP interface of a daemon shares: errors, health, metrics.
 */
package org.ragworthook.daemon.http;
