/** One line of the platform's VM list, which may be outdated. */
export interface VmEntry {
  address: string;
  failureDomain: string;
  state: 'live' | 'leaving';
}
