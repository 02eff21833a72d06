/** State that the readiness probe reports. */
export interface Readiness {
  ready: boolean;
  reason: string;
}
