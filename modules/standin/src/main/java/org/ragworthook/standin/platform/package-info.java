/**
 * Stand-ins of the platform: object API and list of instances.
 */
package org.ragworthook.standin.platform;
