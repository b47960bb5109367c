/* Encodes and decodes the store object that registers a gateway's UDP
   address.  */

#include <arpa/inet.h>
#include <string.h>

#include "routing/card.h"

#define KEY_ADDRESS "address"
#define KEY_PORT "port"

void
cv_gateway_address_encode (cv_buf_t *out, const struct sockaddr_in *address)
{
  char ip[INET_ADDRSTRLEN];

  CV_INVARIANT (inet_ntop (AF_INET, &address->sin_addr, ip, sizeof ip) != NULL);
  cv_buf_printf (out, "{\"" KEY_ADDRESS "\":\"%s\",\"" KEY_PORT "\":%u}", ip,
                 ntohs (address->sin_port));
}

bool
cv_gateway_address_decode (struct json_object *spec, struct sockaddr_in *out,
                           cv_error_t *err)
{
  struct json_object *ip = NULL;
  struct json_object *port = NULL;
  int64_t number;

  memset (out, 0, sizeof *out);
  if (!json_object_is_type (spec, json_type_object)
      || !json_object_object_get_ex (spec, KEY_ADDRESS, &ip)
      || !json_object_object_get_ex (spec, KEY_PORT, &port)
      || !json_object_is_type (ip, json_type_string)
      || !json_object_is_type (port, json_type_int))
    return cv_fail (err, CV_ERR_INVALID,
                    "gateway: address or port missing or of the wrong type");
  number = json_object_get_int64 (port);
  if (number < 1 || number > UINT16_MAX
      || inet_pton (AF_INET, json_object_get_string (ip), &out->sin_addr) != 1)
    return cv_fail (err, CV_ERR_INVALID,
                    "gateway: not an IPv4 address and a port from 1 to 65535");
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)number);
  return true;
}
