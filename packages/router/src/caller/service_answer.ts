/** Whole answer of a plain service, as the payload of one part. */
export interface ServiceAnswer {
  status: number;
  contentType: string;
  body: string;
}
