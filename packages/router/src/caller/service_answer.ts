/** Complete response of a plain service, sent as the payload of one part. */
export interface ServiceAnswer {
  status: number;
  contentType: string;
  body: string;
}
