/**
 * Self-signed certificates for tests.
 * @module
 */
import * as fs from "node:fs";
import * as selfsigned from "selfsigned";

/** PEM files of a certificate and its key. */
export interface CertificateFiles {
  readonly certFile: string;
  readonly keyFile: string;
}

/** Writes the key, then the certificate, of a common name on 127.0.0.1. */
export async function writeCertificate(
  { certFile, keyFile }: CertificateFiles,
  name: string,
): Promise<void> {
  const certificate = await selfsigned.generate(
    [{ name: "commonName", value: name }],
    {
      extensions: [{
        name: "subjectAltName",
        altNames: [{ type: 7, ip: "127.0.0.1" }],
      }],
    },
  );
  fs.writeFileSync(keyFile, certificate.private);
  fs.writeFileSync(certFile, certificate.cert);
}
