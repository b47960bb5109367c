/* Transcript of the messages and replies of a core that runs a script.  */

#include "core_script.h"

namespace
{

std::string
slice_text (cv_slice_t s)
{
  return s.n == 0 ? "" : std::string (s.p, s.n);
}

std::string
id_text (cv_id_t id)
{
  return "#" + std::to_string (id.lo);
}

}

void
CoreScript::write_sent (uint32_t target, const cv_msg_t *msg)
{
  char ticket[CV_TICKET_TEXT];
  if (msg->type == CV_MSG_HELLO)
    return;
  out_ << "  -> " << names_[target] << " " << cv_msg_name (msg->type);
  switch (msg->type)
    {
    case CV_MSG_SUBMIT:
      out_ << " " << id_text (msg->u.submit.stream)
           << " inc=" << msg->u.submit.incarnation
           << " config=" << msg->u.submit.config_version
           << " class=" << msg->u.submit.class_name
           << (show_expect_ ? " expect=" + std::to_string (msg->u.submit.expect)
                            : "")
           << " deadline=" << msg->u.submit.deadline_ms;
      break;
    case CV_MSG_ATTACH:
      out_ << " " << id_text (msg->u.attach.stream)
           << " offset=" << msg->u.attach.offset
           << " account=" << msg->u.attach.account;
      break;
    case CV_MSG_DETACH:
    case CV_MSG_CANCEL:
      out_ << " " << id_text (msg->u.stream.stream);
      break;
    case CV_MSG_CALL:
      out_ << " " << id_text (msg->u.call.request)
           << " ticket=" << cv_ticket_format (&msg->u.call.ticket, ticket);
      break;
    case CV_MSG_REVOKE:
      out_ << " " << id_text (msg->u.revoke.request)
           << " ticket=" << cv_ticket_format (&msg->u.revoke.ticket, ticket);
      break;
    case CV_MSG_DOC_PULL:
      out_ << (msg->u.doc_pull.doc == CV_DOC_SUSPECTS ? " suspects" : "");
      break;
    case CV_MSG_DOC:
      if (msg->u.doc.doc == CV_DOC_SUSPECTS)
        /* The lower 16 bits of a suspects version are a hash of the text.  */
        out_ << " suspects counter=" << (msg->u.doc.version >> 16);
      else
        out_ << " version=" << msg->u.doc.version;
      break;
    default:
      break;
    }
  out_ << "\n";
}

void
CoreScript::write_reply (void *caller, const cv_reply_t *reply)
{
  char buf[CV_TICKET_TEXT];
  std::string name = "?";
  for (auto &c : callers_)
    if (c.second == caller)
      name = c.first;
  out_ << "  " << name << ": ";
  switch (reply->type)
    {
    case CV_REPLY_TOKENS:
      out_ << "tokens " << cv_position_format (reply->u.tokens.first, buf);
      for (uint32_t i = 0; i < reply->u.tokens.count; i++)
        out_ << " " << slice_text (reply->u.tokens.token[i]);
      break;
    case CV_REPLY_END:
      out_ << "end total=" << reply->u.end.total;
      break;
    case CV_REPLY_CALL:
      out_ << "result " << reply->u.call.status << " "
           << slice_text (reply->u.call.body)
           << (reply->u.call.replayed ? " replayed" : "");
      break;
    case CV_REPLY_TICKET:
      out_ << "ticket " << cv_ticket_format (&reply->u.ticket, buf);
      break;
    case CV_REPLY_FAILED:
      {
        const cv_failure_info_t *i = cv_failure_info (reply->u.failed.code);
        out_ << "failed " << i->code << " outcome "
             << cv_outcome_name (reply->u.failed.outcome)
             << (reply->u.failed.retry_after_ms > 0 ? " retry-after" : "");
        break;
      }
    case CV_REPLY_GONE:
      out_ << "gone";
      break;
    }
  out_ << "\n";
}

void
CoreScript::on_send (void *arg, uint32_t target, const cv_msg_t *msg)
{
  static_cast<CoreScript *> (arg)->write_sent (target, msg);
}

void
CoreScript::on_reply (void *arg, void *caller, const cv_reply_t *reply)
{
  static_cast<CoreScript *> (arg)->write_reply (caller, reply);
}

void
CoreScript::on_reset (void *arg, uint32_t target)
{
  CoreScript *s = static_cast<CoreScript *> (arg);
  s->out_ << "  reset " << s->names_[target] << "\n";
}

cv_id_t
CoreScript::on_new_id (void *arg)
{
  return { 0, ++static_cast<CoreScript *> (arg)->last_id_ };
}
