/** What the readiness probe answers. */
export interface Readiness {
  ready: boolean;
  reason: string;
}
