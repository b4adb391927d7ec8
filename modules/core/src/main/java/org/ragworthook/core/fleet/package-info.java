/**
 * The processes of a deployment: instances with their addresses and failure domains, and
 * the platform's eventually consistent list of them.
 */
package org.ragworthook.core.fleet;
